package fakeorder

import (
	"context"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/fakeprocess"
	"github.com/springweir/springweir/peer/controllerpb"
)

// streamTimeout bounds one stream of Withholder.Stream.
const streamTimeout = 20 * time.Second

// Client connects one controller process to the entry VM and to other controllers. It
// implements order.Withholder and order.Confirmer.
type Client struct {
	Process    *fakeprocess.Process
	Withholder *Withholder
	Network    *Network
	// RestoreFails reports whether a restore fails to reach the entry VM; nil means never.
	RestoreFails func() bool
}

// ConfirmDropped implements order.Confirmer.
func (c *Client) ConfirmDropped(ctx context.Context, address string, req *controllerpb.ConfirmDroppedRequest) (*controllerpb.ConfirmDroppedResponse, error) {
	if err := c.Process.Wait(); err != nil {
		return nil, err
	}
	return c.Network.ConfirmDropped(ctx, address, req)
}

// Withhold implements order.Withholder.
func (c *Client) Withhold(ctx context.Context, name string, epoch uint64) error {
	if err := c.Process.Wait(); err != nil {
		return err
	}
	return c.Withholder.Withhold(ctx, name, epoch)
}

// Restore implements order.Withholder.
func (c *Client) Restore(ctx context.Context, name string, epoch uint64) error {
	if err := c.Process.Wait(); err != nil {
		return err
	}
	if c.RestoreFails != nil && c.RestoreFails() {
		return &UnboundError{Address: "entry"}
	}
	return c.Withholder.Restore(ctx, name, epoch)
}

// Stream sends a request to an engine in the background and reads the complete response, unless
// the engine is withheld.
func (w *Withholder) Stream(name string, e engine.Engine, attempt string) {
	release, ok := w.Acquire(name)
	if !ok {
		return
	}
	go func() {
		defer release()
		ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
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
