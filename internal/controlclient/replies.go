package controlclient

import (
	"context"
	"net/http"

	"github.com/go-kit/log"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/bounded"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

const (
	// maxBoardReplyBytes bounds a reply with a board: none that is longer could be decoded.
	maxBoardReplyBytes = blackboard.MaxEncodedBytes
	// maxReplyBytes bounds any other reply. The longest is the result of a command, which is at most
	// 1 MiB like the command.
	maxReplyBytes = 4 << 20
)

// httpClients are the clients for the two kinds of replies.
type httpClients struct{ boards, others *http.Client }

func newHTTPClients(c *http.Client, l log.Logger) httpClients {
	return httpClients{boards: bounded.Client(c, maxBoardReplyBytes, l), others: bounded.Client(c, maxReplyBytes, l)}
}

// boardClient calls one control process.
//
// Failure: Twirp reads a whole reply into memory. A control process with a fault sends without end,
// and the entries that follow it run out of memory.
type boardClient struct {
	noderpc.Board
	boards noderpc.Board
}

func (h httpClients) at(address string) boardClient {
	url := "http://" + address
	return boardClient{
		Board:  noderpc.NewBoardProtobufClient(url, h.others),
		boards: noderpc.NewBoardProtobufClient(url, h.boards),
	}
}

// Watch calls the process for the changes of the board.
func (b boardClient) Watch(ctx context.Context, r *noderpc.WatchRequest) (*noderpc.WatchReply, error) {
	return b.boards.Watch(ctx, r)
}

// LastKnown calls the process for the board that it has applied.
func (b boardClient) LastKnown(ctx context.Context, r *noderpc.LastKnownRequest) (*noderpc.LastKnownReply, error) {
	return b.boards.LastKnown(ctx, r)
}
