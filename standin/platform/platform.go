// Package platform is a small stand-in for the platform: the transactional
// table service, the object store, the lagging membership list and the
// rate-limited weight store, behind one HTTP address. Admin endpoints inject
// faults and show counts.
package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/membership/fakelist"
	"github.com/springweir/springweir/object"
	"github.com/springweir/springweir/object/memobject"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
	"github.com/springweir/springweir/weightstore"
	"github.com/springweir/springweir/weightstore/fakestore"
)

// maxBody bounds the body of every request but that of an object. It has room
// for the largest transaction of usual rows.
const maxBody = 16 << 20

// Defaults of the stand-in.
const (
	DefaultLag            = 2 * time.Second
	DefaultBytesPerSecond = 2 << 30
	DefaultConcurrent     = 4
	DefaultArtifactBytes  = 4 << 30

	weightWindow = time.Second
)

// Platform is the stand-in. The fakes may be used directly as well.
type Platform struct {
	Table   *memtable.Table
	Objects *memobject.Store
	List    *fakelist.List
	Weights *fakestore.Store
}

// New returns an empty platform with the defaults.
func New() *Platform {
	p := &Platform{
		Table:   memtable.New(),
		Objects: memobject.New(),
		List:    fakelist.New(),
		Weights: fakestore.New(weightstore.Limits{
			BytesPerSecond: DefaultBytesPerSecond,
			Concurrent:     DefaultConcurrent,
			Window:         weightWindow,
		}, DefaultArtifactBytes),
	}
	p.List.SetLag(DefaultLag)
	return p
}

// Handler serves the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+table.GetPath, p.tableGet)
	mux.HandleFunc("POST "+table.ScanPath, p.tableScan)
	mux.HandleFunc("POST "+table.CommitPath, p.tableCommit)
	mux.HandleFunc("PUT "+object.Path+"{name...}", p.objectPut)
	mux.HandleFunc("GET "+object.Path+"{name...}", p.objectGet)
	mux.HandleFunc("DELETE "+object.Path+"{name...}", p.objectDelete)
	mux.HandleFunc("GET "+membership.ListPath, p.membershipList)
	mux.HandleFunc("POST "+weightstore.DescribePath, p.weightsDescribe)
	mux.HandleFunc("POST "+weightstore.LimitsPath, p.weightsLimits)
	mux.HandleFunc("POST "+weightstore.FetchPath, p.weightsFetch)
	p.handleAdmin(mux)
	return mux
}

// decode reads a JSON body into request; it answers 400 and returns false when
// it cannot.
func decode(w http.ResponseWriter, r *http.Request, request any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(request); err != nil {
		answer(w, http.StatusBadRequest, table.ErrorResponse{Problem: err.Error()})
		return false
	}
	return true
}

// answer writes a JSON answer. A failure to write is the caller's to notice.
func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// loseAnswer breaks the connection without an answer.
func loseAnswer() { panic(http.ErrAbortHandler) }

func (p *Platform) objectPut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxBytes))
	if err != nil {
		answer(w, http.StatusRequestEntityTooLarge, table.ErrorResponse{Problem: err.Error()})
		return
	}
	if err := p.Objects.Put(r.Context(), r.PathValue("name"), data); err != nil {
		objectError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) objectGet(w http.ResponseWriter, r *http.Request) {
	data, err := p.Objects.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		objectError(w, err)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) objectDelete(w http.ResponseWriter, r *http.Request) {
	if err := p.Objects.Delete(r.Context(), r.PathValue("name")); err != nil {
		objectError(w, err)
	}
}

func objectError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	var missing *object.MissingError
	var invalid *object.InvalidError
	switch {
	case errors.As(err, &missing):
		status = http.StatusNotFound
	case errors.As(err, &invalid):
		status = http.StatusBadRequest
	}
	answer(w, status, table.ErrorResponse{Problem: err.Error()})
}

func (p *Platform) weightsDescribe(w http.ResponseWriter, r *http.Request) {
	var a weightstore.Artifact
	if !decode(w, r, &a) {
		return
	}
	info, err := p.Weights.Describe(r.Context(), a)
	weightsAnswer(w, info, err)
}

func (p *Platform) weightsLimits(w http.ResponseWriter, r *http.Request) {
	limits, err := p.Weights.Limits(r.Context())
	weightsAnswer(w, limits, err)
}

func (p *Platform) weightsFetch(w http.ResponseWriter, r *http.Request) {
	var f weightstore.FetchRequest
	if !decode(w, r, &f) {
		return
	}
	if f.Bytes <= 0 || f.Fetcher == "" {
		answer(w, http.StatusBadRequest, table.ErrorResponse{Problem: "fetcher and bytes must be given"})
		return
	}
	weightsAnswer(w, struct{}{}, p.Weights.Fetch(r.Context(), f.Fetcher, f.Artifact, f.Bytes))
}

func weightsAnswer(w http.ResponseWriter, body any, err error) {
	var missing *weightstore.MissingError
	var limited *weightstore.RateLimitError
	switch {
	case err == nil:
		answer(w, http.StatusOK, body)
	case errors.As(err, &missing):
		answer(w, http.StatusNotFound, table.ErrorResponse{Problem: err.Error()})
	case errors.As(err, &limited):
		answer(w, http.StatusTooManyRequests, weightstore.Refusal{RetryAfterMillis: limited.RetryAfter.Milliseconds() + 1})
	default:
		answer(w, http.StatusServiceUnavailable, table.ErrorResponse{Problem: err.Error()})
	}
}
