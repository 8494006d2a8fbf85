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
	"github.com/springweir/springweir/memory"
)

func (h *Handler) chat(x *exchange) *failure.Request {
	req, failed := h.readRequest(x)
	if failed != nil {
		return failed
	}
	if len(req.Messages) == 0 {
		return reject(failure.BadRequest, "messages is empty")
	}
	return h.generate(x, req, renderChat(req.Messages), chatFormat{})
}

func (h *Handler) completion(x *exchange) *failure.Request {
	req, failed := h.readRequest(x)
	if failed != nil {
		return failed
	}
	if req.Prompt == "" {
		return reject(failure.BadRequest, "prompt is empty")
	}
	return h.generate(x, req, req.Prompt, textFormat{})
}

// renderChat renders a chat as one prompt. The prompt of one turn is a prefix of the prompts of
// later turns, so that engines can reuse their prefix caches.
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

// readRequest reads and validates the body and sets x.model. The body is read under the general
// limits, because the model is known only after parsing; the model's limits are checked then.
func (h *Handler) readRequest(x *exchange) (wire.Request, *failure.Request) {
	body, failed := readBody(x, h.applyLimits(x, Limits{}))
	if failed != nil {
		return wire.Request{}, failed
	}
	var req wire.Request
	if err := json.Unmarshal(body, &req); err != nil {
		return wire.Request{}, reject(failure.BadRequest, "the body is not valid JSON for this request")
	}
	model, known := h.cfg.Catalogue.Model(req.Model)
	if !known {
		return wire.Request{}, reject(failure.NoSuchModel, "no pool serves this model")
	}
	if !isAllowed(x.org.Models, model.Base) {
		return wire.Request{}, reject(failure.NotAllowed, "the organisation may not use this model")
	}
	if int64(len(body)) > h.applyLimits(x, model.Limits).MaxBody {
		return wire.Request{}, tooLarge()
	}
	x.model = model
	return req, nil
}

// readBody reads the body within the request's deadline. It is held until the request ends.
func readBody(x *exchange, l Limits) ([]byte, *failure.Request) {
	rc := http.NewResponseController(x.w)
	// Writers without deadline support, such as those in tests, return an error that is ignored.
	_ = rc.SetReadDeadline(x.work.Deadline)
	// The server keeps reading from the connection to detect a disconnect of the caller.
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	if x.r.ContentLength > l.MaxBody {
		return nil, tooLarge()
	}
	size := x.r.ContentLength
	if size < 0 {
		size = l.MaxBody
	}
	if failed := x.held.Admit(memory.RequestOverhead + size); failed != nil {
		return nil, failed
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, l.MaxBody))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, tooLarge()
	}
	if err != nil {
		return nil, reject(failure.BadRequest, "the body could not be read")
	}
	return body, nil
}

func tooLarge() *failure.Request { return reject(failure.TooLarge, "the body is over the size limit") }

// generate fills in the work and sends the response, buffered or streamed.
func (h *Handler) generate(x *exchange, req wire.Request, prompt string, f format) *failure.Request {
	if failed := h.fillWork(x.work, x.model, req, prompt); failed != nil {
		return failed
	}
	builder := &responseBuilder{x: x, format: f, model: req.Model, created: clock.Now().Unix()}
	if req.Stream {
		return h.respondStream(builder)
	}
	return h.respond(builder)
}

// fillWork sets the fields of work that depend on the model, the request body and the prompt.
func (h *Handler) fillWork(work *forward.Work, model Model, req wire.Request, prompt string) *failure.Request {
	maxTokens, failed := outputLimit(req.MaxTokens, model.MaxTokens)
	if failed != nil {
		return failed
	}
	work.ModelName = model.Name
	work.Model, work.Adapter, work.Version = model.Base, model.Adapter, model.Version
	work.Prompt = prompt
	work.PromptTokens = h.cfg.Estimator.Tokens(prompt)
	if model.MaxPrompt > 0 && work.PromptTokens > model.MaxPrompt {
		return reject(failure.TooLarge, "the prompt is over the limit of the model's pool")
	}
	work.MaxTokens = maxTokens
	if failed := applyHop(work, req.Hop); failed != nil {
		return failed
	}
	if h.cfg.Hasher != nil {
		work.PrefixHashes = h.cfg.Hasher.Hashes(cacheNamespace(work), prompt)
	}
	return nil
}

// cacheNamespace returns the namespace of the prefix hashes: prompts share cached blocks only if
// model, adapter and version are equal. The version may have been overridden by a hop.
func cacheNamespace(w *forward.Work) string {
	return strings.Join([]string{w.Model, w.Adapter, w.Version}, "\x00")
}

// outputLimit returns the maximum number of output tokens for a request. A limit of zero means
// DefaultMaxTokens; a requested number of zero means the limit.
func outputLimit(requested, limit int) (int, *failure.Request) {
	if limit <= 0 {
		limit = DefaultMaxTokens
	}
	if requested < 0 {
		return 0, reject(failure.BadRequest, "max_tokens is negative")
	}
	if requested == 0 {
		return limit, nil
	}
	return min(requested, limit), nil
}

// applyHop applies the additional fields sent by an entry of another zone.
func applyHop(work *forward.Work, hop *wire.Hop) *failure.Request {
	if hop == nil {
		return nil
	}
	if !work.FromOtherZone || hop.PromptTokens < 0 || hop.ResumeFrom < 0 || (hop.ResumeFrom == 0 && hop.Emitted != "") {
		return reject(failure.BadRequest, "the springweir field is for entries of other zones")
	}
	work.PromptTokens = hop.PromptTokens
	work.Version = cmp.Or(hop.Version, work.Version)
	work.ResumeFrom = hop.ResumeFrom
	work.Emitted = hop.Emitted
	return nil
}

// textCollector is the sink of a buffered response.
type textCollector struct{ text strings.Builder }

// Emit implements forward.Sink.
func (c *textCollector) Emit(d forward.Delta) error {
	c.text.WriteString(d.Text)
	return nil
}

func (h *Handler) respond(builder *responseBuilder) *failure.Request {
	var sink textCollector
	summary, err := h.cfg.Forwarder.Generate(builder.x.r.Context(), builder.x.work, &sink)
	if err != nil {
		return asFailure(err)
	}
	finish := string(summary.Finish)
	resp := builder.response(builder.format.complete(sink.text.String(), &finish))
	resp.Object = builder.format.object(false)
	resp.Usage = builder.usage(summary)
	builder.x.writeJSON(http.StatusOK, resp)
	return nil
}

// responseBuilder builds the bodies of one response.
type responseBuilder struct {
	x       *exchange
	format  format
	model   string
	created int64
}

func (b *responseBuilder) response(c wire.Choice) wire.Response {
	return wire.Response{ID: b.x.work.ID, Created: b.created, Model: b.model, Choices: []wire.Choice{c}}
}

func (b *responseBuilder) usage(s forward.Summary) *wire.Usage {
	prompt := b.x.work.PromptTokens
	return &wire.Usage{
		PromptTokens:     prompt,
		CompletionTokens: s.Tokens,
		TotalTokens:      prompt + s.Tokens,
		CachedTokens:     s.CachedTokens,
	}
}

// format abstracts the differences between chat and text completion responses.
type format interface {
	object(chunk bool) wire.Object
	complete(text string, finish *string) wire.Choice
	chunk(text string, first bool) wire.Choice
	final(finish engine.FinishReason) wire.Choice
}

type chatFormat struct{}

func (chatFormat) object(chunk bool) wire.Object {
	if chunk {
		return wire.ObjectChatChunk
	}
	return wire.ObjectChat
}

func (chatFormat) complete(text string, finish *string) wire.Choice {
	return wire.Choice{Message: &wire.Message{Role: "assistant", Content: text}, FinishReason: finish}
}

func (chatFormat) chunk(text string, first bool) wire.Choice {
	delta := wire.Delta{Content: text}
	if first {
		delta.Role = "assistant"
	}
	return wire.Choice{Delta: &delta}
}

func (chatFormat) final(finish engine.FinishReason) wire.Choice {
	reason := string(finish)
	return wire.Choice{Delta: &wire.Delta{}, FinishReason: &reason}
}

type textFormat struct{}

func (textFormat) object(bool) wire.Object { return wire.ObjectCompletion }

func (textFormat) complete(text string, finish *string) wire.Choice {
	return wire.Choice{Text: &text, FinishReason: finish}
}

func (textFormat) chunk(text string, _ bool) wire.Choice { return wire.Choice{Text: &text} }

func (textFormat) final(finish engine.FinishReason) wire.Choice {
	reason, empty := string(finish), ""
	return wire.Choice{Text: &empty, FinishReason: &reason}
}
