package enginemodel

import (
	"container/heap"
	"time"

	"github.com/springweir/springweir/engine"
)

func (e *Engine) push(j *job) { heap.Push(&e.waiting, j) }

// Load advances the model to now and returns its load. Age, Sequence and Recent are not
// set; the sender of the report fills them in. KVUsed excludes prefix blocks, which can be
// evicted immediately.
func (e *Engine) Load(now time.Duration) engine.Load {
	e.advance(now)
	load := engine.Load{
		Running:       len(e.prefilling) + len(e.decoding),
		WaitingTokens: e.prefillLeft(),
		DecodeTokens:  e.contextTokens,
		KVUsed:        e.kvUsed,
		KVTotal:       e.params.KVTokens,
	}
	for _, group := range [][]*job{e.waiting, e.importing} {
		for _, j := range group {
			if j.cancelled {
				continue
			}
			load.Waiting++
			if !j.Import {
				load.WaitingTokens += j.PromptTokens + j.ResumeFrom
			}
		}
	}
	if done := e.plan.stepsDone(now); done > 0 {
		load.DecodeTokens += done * e.plan.decoders
		load.WaitingTokens -= done * e.plan.prefillTokens
	}
	return load
}

// Recent returns up to 64 most recently submitted jobs, oldest first. The slice is valid
// until the next call of Submit.
func (e *Engine) Recent() []JobID { return e.recent }
