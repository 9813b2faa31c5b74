package entry

import (
	"sync"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// keyIndex finds a workspace by the hash of its key. It rebuilds its index when the
// configuration changes. It is safe for concurrent use.
type keyIndex struct {
	mu       sync.Mutex
	revision uint64
	built    bool
	byHash   map[string]string
}

func (k *keyIndex) workspace(board *blackboard.Board, hash string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.built || k.revision != board.Config.Revision {
		k.build(board)
	}
	name, ok := k.byHash[hash]
	return name, ok
}

func (k *keyIndex) build(board *blackboard.Board) {
	k.byHash = make(map[string]string, len(board.Config.Workspaces))
	for name, w := range board.Config.Workspaces {
		w.KeyHashes(func(hash string) { k.byHash[hash] = name })
	}
	k.revision, k.built = board.Config.Revision, true
}
