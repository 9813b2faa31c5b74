package main

import (
	"flag"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"

	"github.com/citronstep/citronstep/internal/standin"
)

// flags holds the values of the command line.
type flags struct {
	engines            int
	service            string
	instances          int
	weightStore        string
	names              string
	idPrefix           string
	firstPort          int
	listenIP           string
	advertise          string
	announce           string
	secretFile         string
	announceSecretFile string
	runs               string
	crashExit          bool

	common         standin.Common
	engine         standin.EngineOptions
	callTime       time.Duration
	bytesPerSecond int
	modelBytes     int
	weights        string
	fencing        string
}

func (f *flags) register(set *flag.FlagSet) {
	set.IntVar(&f.engines, "engines", 1, "number of engines")
	set.StringVar(&f.service, "service", "", "run instances of the plain service of this `name` instead of engines")
	set.IntVar(&f.instances, "instances", 1, "number of plain service instances")
	set.StringVar(&f.weightStore, "weight-store", "", "run the weight store on this `address` instead of engines")
	set.StringVar(&f.idPrefix, "id", "vm", "prefix of the stable `name`s: PREFIX-0, PREFIX-1, ...")
	set.StringVar(&f.names, "names", "", "comma-separated stable `names` in place of those made from -id")
	set.StringVar(&f.listenIP, "listen-ip", "127.0.0.1", "address to listen on")
	set.IntVar(&f.firstPort, "first-port", 0, "port of the first stand-in; 0 picks free ones")
	set.StringVar(&f.advertise, "advertise", "", "comma-separated `addresses` to announce in place of the listen addresses")
	set.StringVar(&f.announce, "announce", "", "comma-separated `addresses` of entries")
	set.StringVar(&f.secretFile, "secret-file", "", "`file` with the bearer token that orders and calls must carry")
	set.StringVar(&f.announceSecretFile, "announce-secret-file", "", "`file` with the bearer token of announcements")
	set.StringVar(&f.runs, "runs", "", "`file` to which each run is appended as a JSON line")
	set.BoolVar(&f.crashExit, "crash-exit", false, "a crash ends the process, with status 3")
	f.registerCommon(set)
	f.registerEngine(set)
	f.registerFaults(set)
	set.DurationVar(&f.callTime, "call-time", 0, "duration of a plain service call")
	set.IntVar(&f.bytesPerSecond, "bytes-per-second", 0, "rate of the weight store")
	set.IntVar(&f.modelBytes, "model-bytes", 0, "size of each model in the weight store")
}

func (f *flags) registerCommon(set *flag.FlagSet) {
	c := &f.common
	set.StringVar(&c.FabricDomain, "fabric-domain", "", "fabric domain")
	set.StringVar(&c.DataCentre, "data-centre", "", "data centre")
	set.DurationVar(&c.Interval, "interval", 0, "time between announcements until an entry sets another")
	set.DurationVar(&c.LoadLag, "load-lag", 0, "age of the reported load")
	set.DurationVar(&c.RestartAfter, "restart-after", 0, "time until a crashed stand-in restarts")
}

func (f *flags) registerEngine(set *flag.FlagSet) {
	e := &f.engine
	set.IntVar(&e.Accelerators, "accelerators", 0, "accelerators of each VM")
	set.StringVar(&f.fencing, "fencing", string(standin.FencingCheck), "check or ignore fencing tokens")
	set.IntVar(&e.Slots, "slots", 0, "maximum number of generations that run at once")
	set.IntVar(&e.QueueLimit, "queue-limit", 0, "maximum number of generations that wait")
	set.DurationVar(&e.TokenInterval, "token-interval", 0, "time to generate a token")
	set.DurationVar(&e.PrefillPerBlock, "prefill-per-block", 0, "time to process an uncached prompt block")
	set.DurationVar(&e.KeepAlive, "keep-alive", 0, "time between keep-alives")
	set.StringVar(&e.WeightStore, "weights-from", "", "`address` of the weight store")
	set.DurationVar(&e.LoadTime, "load-time", 0, "time to load weights without a weight store")
	set.StringVar(&f.weights, "weights", "", "comma-separated `models` held from the start")
	set.DurationVar(&e.CacheLag, "cache-lag", 0, "delay of cache events")
	set.Uint64Var(&e.CacheGap, "cache-gap", 0, "drop every n-th cache event")
	set.DurationVar(&e.MemberTimeout, "member-timeout", 0, "time without a heartbeat after which a group member is missing")
	set.DurationVar(&e.GroupTimeout, "group-timeout", 0, "time without a member after which the group has failed")
}

func (f *flags) registerFaults(set *flag.FlagSet) {
	x := &f.common.Faults
	set.StringVar(&x.CrashMarker, "fault-crash-marker", "", "crash on a request that contains this `text`")
	set.Float64Var(&x.SlowFactor, "fault-slow", 0, "multiply the duration of all work by this factor")
	set.BoolVar(&x.IgnoreCancel, "fault-ignore-cancel", false, "continue to run after a cancel")
	set.BoolVar(&x.FullQueue, "fault-full-queue", false, "refuse all work as busy")
	set.Func("fault-lost-members", "comma-separated `VMs` whose heartbeats as group members are ignored", func(s string) error {
		x.LostMembers = splitList(s)
		return nil
	})
	set.Func("fault-stream", "cut, crossed, doubled, skipped, short, malformed, overlong, stalled or late",
		func(s string) error {
			x.Stream.Kind = standin.StreamFault(s)
			return nil
		})
	set.IntVar(&x.Stream.After, "fault-stream-after", 0, "tokens before the stream fault")
	set.Int64Var(&x.Stream.DelayMillis, "fault-stream-delay-ms", 0, "delay of the fault \"late\" in milliseconds")
	set.StringVar(&x.Stream.Marker, "fault-stream-marker", "", "apply the stream fault only to answers to requests that contain this `text`")
	set.IntVar(&x.Stream.Answers, "fault-stream-answers", 0, "apply the stream fault only to this number of answers")
}

// standinCount returns the number of stand-ins to start.
func (f *flags) standinCount() int {
	switch {
	case f.weightStore != "":
		return 1
	case f.service != "":
		return f.instances
	default:
		return f.engines
	}
}

func (f *flags) weightStoreOptions() standin.WeightStoreOptions {
	return standin.WeightStoreOptions{
		Listen: f.weightStore, BytesPerSecond: f.bytesPerSecond, ModelBytes: f.modelBytes,
	}
}

// commonOptions returns the options that the i-th engine and the i-th service have in common.
func (f *flags) commonOptions(i int, r *standin.Recorder, l log.Logger) standin.Common {
	c := f.common
	c.ID = f.idPrefix + "-" + strconv.Itoa(i)
	if names := splitList(f.names); i < len(names) {
		c.ID = names[i]
	}
	c.Listen = f.listen(i)
	if advertised := splitList(f.advertise); i < len(advertised) {
		c.Advertise = advertised[i]
	}
	c.Entries = splitList(f.announce)
	c.Secret = readSecret(f.secretFile)
	c.AnnounceSecret = readSecret(f.announceSecretFile)
	c.Recorder = r
	c.Logger = l
	if f.crashExit {
		c.OnCrash = func() { os.Exit(exitCrash) }
	}
	return c
}

func (f *flags) engineOptions(i int, r *standin.Recorder, l log.Logger) standin.EngineOptions {
	o := f.engine
	o.Common = f.commonOptions(i, r, l)
	o.Fencing = standin.Fencing(f.fencing)
	o.Weights = splitList(f.weights)
	return o
}

func (f *flags) serviceOptions(i int, r *standin.Recorder, l log.Logger) standin.ServiceOptions {
	return standin.ServiceOptions{
		Common: f.commonOptions(i, r, l), Name: f.service, CallTime: f.callTime,
	}
}

// listen returns the listen address of the i-th stand-in.
func (f *flags) listen(i int) string {
	port := 0
	if f.firstPort > 0 {
		port = f.firstPort + i
	}
	return net.JoinHostPort(f.listenIP, strconv.Itoa(port))
}

func readSecret(path string) string {
	if path == "" {
		return ""
	}
	secret, err := os.ReadFile(path)
	if err != nil {
		// Without its secret the stand-in would accept calls from anyone.
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	return strings.TrimSpace(string(secret))
}

// splitList splits a comma-separated list. The empty string is the empty list.
func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}
