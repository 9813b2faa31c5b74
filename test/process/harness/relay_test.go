package harness

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoServer returns the address of a server that sends all received data back.
func echoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String()
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

const (
	// answerTimeout bounds the wait for an echo that must come. silenceWindow is how long a test
	// waits for an echo that must not come.
	answerTimeout = 20 * time.Second
	silenceWindow = 150 * time.Millisecond
)

// echoes reports whether a byte comes back.
func echoes(t *testing.T, c net.Conn) bool { return echoesWithin(t, c, answerTimeout) }

// isSilent reports whether no byte comes back within silenceWindow.
func isSilent(t *testing.T, c net.Conn) bool { return !echoesWithin(t, c, silenceWindow) }

func echoesWithin(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	_, err := c.Write([]byte("x"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	n, _ := c.Read(make([]byte, 1))
	return n == 1
}

func TestSilenceHoldsOpenConnectionsOnly(t *testing.T) {
	l := NewLink(t, "echo", echoServer(t))
	old := dial(t, l)
	assert.Assert(t, echoes(t, old))
	assert.Equal(t, l.Silence(), 1)
	assert.Assert(t, isSilent(t, old))
	assert.Assert(t, echoes(t, dial(t, l)))
}

func TestCutsAndHeals(t *testing.T) {
	l := NewLink(t, "echo", echoServer(t))
	assert.Assert(t, echoes(t, dial(t, l)))
	for name, cut := range map[string]func(){
		"both ways":            l.Cut,
		"forward":              func() { l.CutOneWay(Forward) },
		"back":                 func() { l.CutOneWay(Back) },
		"from this address":    func() { l.relay.setSource(loopback, droppedDirections{true, true}) },
		"its answers, one way": func() { l.relay.setSource(loopback, droppedDirections{Back: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			cut()
			assert.Assert(t, isSilent(t, dial(t, l)))
			l.Heal()
			assert.Assert(t, echoes(t, dial(t, l)))
		})
	}
	l.relay.setSource("127.0.9.9", droppedDirections{true, true})
	assert.Assert(t, echoes(t, dial(t, l)))
}

func TestToxicsAct(t *testing.T) {
	l := NewLink(t, "echo", echoServer(t))
	l.AddToxic(Toxic{Name: "stop", Type: "timeout", Attributes: map[string]int{"timeout": 0}})
	assert.Assert(t, isSilent(t, dial(t, l)))
	l.ResetToxics()
	assert.Assert(t, echoes(t, dial(t, l)))
}

func TestProcessIsStartedSignalledAndEnded(t *testing.T) {
	p := StartProcess(t, "sleeper", t.TempDir(), "/bin/sh", "-c", "echo ready; exec sleep 60")
	assert.DeepEqual(t, p.AwaitLines(1), []string{"ready"})
	p.Kill()
	assert.Assert(t, !p.Running())
	assert.Equal(t, p.Wait(time.Second), -1)
	p.Start()
	p.AwaitLines(1)
	assert.Assert(t, p.Running())
	p.Terminate()
	assert.Equal(t, p.Wait(10*time.Second), -1)
}
