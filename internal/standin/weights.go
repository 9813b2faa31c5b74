package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// PathWeights is the path of the weight store; the name of the model follows it.
const PathWeights = "/weights/"

// weightChunk is the number of bytes served between two waits for the rate limit.
const weightChunk = 32 << 10

// WeightStore serves model weights to all engines under one common rate limit.
type WeightStore struct {
	options WeightStoreOptions
	server  *server
	limiter *rate.Limiter
	cancel  context.CancelFunc
	served  atomic.Int64
}

// StartWeightStore starts a weight store.
func StartWeightStore(ctx context.Context, o WeightStoreOptions) (*WeightStore, error) {
	o = o.withDefaults()
	s := &WeightStore{
		options: o,
		limiter: rate.NewLimiter(rate.Limit(o.BytesPerSecond), max(weightChunk, o.BytesPerSecond/10)),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathWeights+"{model}", s.serve)
	s.server = newServer(mux)
	ctx, s.cancel = context.WithCancel(ctx)
	if err := s.server.listen(ctx, o.Listen); err != nil {
		s.cancel()
		return nil, errors.Trace(err)
	}
	return s, nil
}

// Address returns the address from which engines load weights.
func (s *WeightStore) Address() string { return s.server.addr() }

// Loads returns the number of completed loads.
func (s *WeightStore) Loads() int64 { return s.served.Load() }

// Close stops the store and interrupts all loads.
func (s *WeightStore) Close() {
	s.cancel()
	s.server.kill()
}

func (s *WeightStore) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.Itoa(s.options.ModelBytes))
	chunk := make([]byte, weightChunk)
	for left := s.options.ModelBytes; left > 0; {
		n := min(left, len(chunk))
		if s.limiter.WaitN(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= n
	}
	s.served.Add(1)
}

// fetchWeights loads the weights of a model and discards them.
func fetchWeights(ctx context.Context, store, model string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+store+PathWeights+model, nil)
	if err != nil {
		return errors.Trace(err)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Annotate(errWeights, response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return errors.Trace(err)
}
