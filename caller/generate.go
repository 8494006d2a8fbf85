package caller

import (
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/internal/clock"
)

func (h *Handler) chat(x *exchange) *failure.Request {
	req, failed := h.readRequest(x)
	if failed != nil {
		return failed
	}
	if len(req.Messages) == 0 {
		return refused(failure.BadRequest, "messages is empty")
	}
	return h.generate(x, req, renderChat(req.Messages), chatFormat{})
}

func (h *Handler) completion(x *exchange) *failure.Request {
	req, failed := h.readRequest(x)
	if failed != nil {
		return failed
	}
	if req.Prompt == "" {
		return refused(failure.BadRequest, "prompt is empty")
	}
	return h.generate(x, req, req.Prompt, textFormat{})
}

// renderChat writes a chat as one prompt. Earlier turns stay a prefix of later
// prompts, so that engines' prefix caches help.
func renderChat(messages []wire.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	b.WriteString("assistant: ")
	return b.String()
}

// readRequest reads the body. The limits of the model are known only after it.
func (h *Handler) readRequest(x *exchange) (wire.Request, *failure.Request) {
	body, failed := readBody(x, h.bound(x, Limits{}))
	if failed != nil {
		return wire.Request{}, failed
	}
	var req wire.Request
	if err := json.Unmarshal(body, &req); err != nil {
		return wire.Request{}, refused(failure.BadRequest, "the body is not valid JSON for this request")
	}
	model, known := h.cfg.Catalogue.Model(req.Model)
	if !known {
		return wire.Request{}, refused(failure.NoSuchModel, "no pool serves this model")
	}
	if !mayUse(x.org.Models, model.Base) {
		return wire.Request{}, refused(failure.NotAllowed, "the organisation may not use this model")
	}
	if int64(len(body)) > h.bound(x, model.Limits).MaxBody {
		return wire.Request{}, tooLarge()
	}
	x.model = model
	return req, nil
}

// readBody reads the body, within the request's deadline.
func readBody(x *exchange, l Limits) ([]byte, *failure.Request) {
	rc := http.NewResponseController(x.w)
	// Writers without deadlines, such as those in tests, say so; that is fine.
	_ = rc.SetReadDeadline(x.work.Deadline)
	// The server goes on reading, to see whether the caller leaves.
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, l.MaxBody))
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, tooLarge()
	}
	if err != nil {
		return nil, refused(failure.BadRequest, "the body could not be read")
	}
	return body, nil
}

func tooLarge() *failure.Request { return refused(failure.TooLarge, "the body is over the size limit") }

// generate fills in the work and answers whole or as a stream.
func (h *Handler) generate(x *exchange, req wire.Request, prompt string, f format) *failure.Request {
	if failed := h.describe(x.work, x.model, req, prompt); failed != nil {
		return failed
	}
	a := &answer{x: x, format: f, model: req.Model, created: clock.Now().Unix()}
	if req.Stream {
		return h.stream(a)
	}
	return h.whole(a)
}

func (h *Handler) describe(work *forward.Work, model Model, req wire.Request, prompt string) *failure.Request {
	maxTokens, failed := answerLimit(req.MaxTokens, model.MaxTokens)
	if failed != nil {
		return failed
	}
	work.ModelName = model.Name
	work.Model, work.Adapter, work.Version = model.Base, model.Adapter, model.Version
	work.Prompt = prompt
	work.PromptTokens = h.cfg.Estimator.Tokens(prompt)
	if model.MaxPrompt > 0 && work.PromptTokens > model.MaxPrompt {
		return refused(failure.TooLarge, "the prompt is over the limit of the model's pool")
	}
	work.MaxTokens = maxTokens
	if failed := describeHop(work, req.Hop); failed != nil {
		return failed
	}
	if h.cfg.Hasher != nil {
		work.PrefixHashes = h.cfg.Hasher.Hashes(cacheNamespace(work), prompt)
	}
	return nil
}

// cacheNamespace names what must be equal for two prompts to share a cache. The
// version is the one that will answer, which a hop may have changed.
func cacheNamespace(w *forward.Work) string {
	return strings.Join([]string{w.Model, w.Adapter, w.Version}, "\x00")
}

func answerLimit(asked, limit int) (int, *failure.Request) {
	if limit <= 0 {
		limit = DefaultMaxTokens
	}
	if asked < 0 {
		return 0, refused(failure.BadRequest, "max_tokens is negative")
	}
	if asked == 0 {
		return limit, nil
	}
	return min(asked, limit), nil
}

// describeHop takes over what an entry of another zone adds.
func describeHop(work *forward.Work, hop *wire.Hop) *failure.Request {
	if hop == nil {
		return nil
	}
	if !work.FromOtherZone || hop.PromptTokens < 0 || hop.ResumeFrom < 0 || (hop.ResumeFrom == 0 && hop.Emitted != "") {
		return refused(failure.BadRequest, "the springweir field is for entries of other zones")
	}
	work.PromptTokens = hop.PromptTokens
	work.Version = cmp.Or(hop.Version, work.Version)
	work.ResumeFrom = hop.ResumeFrom
	work.Emitted = hop.Emitted
	return nil
}

// collector is the sink of an answer that is sent whole.
type collector struct{ text strings.Builder }

// Emit implements forward.Sink.
func (c *collector) Emit(d forward.Delta) error {
	c.text.WriteString(d.Text)
	return nil
}

func (h *Handler) whole(a *answer) *failure.Request {
	var sink collector
	summary, err := h.cfg.Forwarder.Generate(a.x.r.Context(), a.x.work, &sink)
	if err != nil {
		return asFailure(err)
	}
	finish := string(summary.Finish)
	resp := a.response(a.format.whole(sink.text.String(), &finish))
	resp.Object = a.format.object(false)
	resp.Usage = a.usage(summary)
	a.x.writeJSON(http.StatusOK, resp)
	return nil
}

// answer builds the bodies of one answer.
type answer struct {
	x       *exchange
	format  format
	model   string
	created int64
}

func (a *answer) response(c wire.Choice) wire.Response {
	return wire.Response{ID: a.x.work.ID, Created: a.created, Model: a.model, Choices: []wire.Choice{c}}
}

func (a *answer) usage(s forward.Summary) *wire.Usage {
	prompt := a.x.work.PromptTokens
	return &wire.Usage{
		PromptTokens:     prompt,
		CompletionTokens: s.Tokens,
		TotalTokens:      prompt + s.Tokens,
		CachedTokens:     s.CachedTokens,
	}
}

// format is how chats and completions differ.
type format interface {
	object(chunk bool) wire.Object
	whole(text string, finish *string) wire.Choice
	piece(text string, first bool) wire.Choice
	last(finish engine.FinishReason) wire.Choice
}

type chatFormat struct{}

func (chatFormat) object(chunk bool) wire.Object {
	if chunk {
		return wire.ObjectChatChunk
	}
	return wire.ObjectChat
}

func (chatFormat) whole(text string, finish *string) wire.Choice {
	return wire.Choice{Message: &wire.Message{Role: "assistant", Content: text}, FinishReason: finish}
}

func (chatFormat) piece(text string, first bool) wire.Choice {
	delta := wire.Delta{Content: text}
	if first {
		delta.Role = "assistant"
	}
	return wire.Choice{Delta: &delta}
}

func (chatFormat) last(finish engine.FinishReason) wire.Choice {
	reason := string(finish)
	return wire.Choice{Delta: &wire.Delta{}, FinishReason: &reason}
}

type textFormat struct{}

func (textFormat) object(bool) wire.Object { return wire.ObjectCompletion }

func (textFormat) whole(text string, finish *string) wire.Choice {
	return wire.Choice{Text: &text, FinishReason: finish}
}

func (textFormat) piece(text string, _ bool) wire.Choice { return wire.Choice{Text: &text} }

func (textFormat) last(finish engine.FinishReason) wire.Choice {
	reason, empty := string(finish), ""
	return wire.Choice{Text: &empty, FinishReason: &reason}
}
