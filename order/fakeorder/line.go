package fakeorder

import (
	"context"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/fakeprocess"
	"github.com/springweir/springweir/peer/controllerpb"
)

// streamTime bounds one stream of Withholder.Stream.
const streamTime = 20 * time.Second

// Client is one controller process's way to the entry VM and to other controllers.
// It implements order.Withholder and order.Confirmer.
type Client struct {
	Process    *fakeprocess.Process
	Withholder *Withholder
	Network    *Network
	// RestoreFails tells whether a restore does not reach the entry VM; nil never.
	RestoreFails func() bool
}

// ConfirmDropped implements order.Confirmer.
func (l *Client) ConfirmDropped(ctx context.Context, address string, req *controllerpb.ConfirmDroppedRequest) (*controllerpb.ConfirmDroppedResponse, error) {
	if err := l.Process.Wait(); err != nil {
		return nil, err
	}
	return l.Network.ConfirmDropped(ctx, address, req)
}

// Withhold implements order.Withholder.
func (l *Client) Withhold(ctx context.Context, name string, epoch uint64) error {
	if err := l.Process.Wait(); err != nil {
		return err
	}
	return l.Withholder.Withhold(ctx, name, epoch)
}

// Restore implements order.Withholder.
func (l *Client) Restore(ctx context.Context, name string, epoch uint64) error {
	if err := l.Process.Wait(); err != nil {
		return err
	}
	if l.RestoreFails != nil && l.RestoreFails() {
		return &UnboundError{Address: "entry"}
	}
	return l.Withholder.Restore(ctx, name, epoch)
}

// Stream sends a request to an engine in the background and reads its answer to
// the end, unless the engine is withheld.
func (w *Withholder) Stream(name string, e engine.Engine, attempt string) {
	release, ok := w.Acquire(name)
	if !ok {
		return
	}
	go func() {
		defer release()
		ctx, cancel := context.WithTimeout(context.Background(), streamTime)
		defer cancel()
		s, err := e.Generate(ctx, engine.GenerateRequest{Attempt: attempt, Prompt: "a question"})
		if err != nil {
			return
		}
		defer s.Close()
		for err == nil {
			_, err = s.Next(ctx)
		}
	}()
}
