// Package platform is a stand-in for the platform: the transactional table service, the
// object store, the membership list with its lag and the rate-limited weight store, served
// at one HTTP address. Admin endpoints inject faults and return call counts.
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

// maxBody is the maximum size in bytes of every request body except an object. The largest
// transaction of rows of typical size fits into it.
const maxBody = 16 << 20

// Defaults of the stand-in: the membership lag, the rate and concurrency limits of the
// weight store, and the size of an artifact.
const (
	DefaultLag            = 2 * time.Second
	DefaultBytesPerSecond = 2 << 30
	DefaultConcurrent     = 4
	DefaultArtifactBytes  = 4 << 30

	weightWindow = time.Second
)

// Platform is the stand-in. Its fakes may also be used directly.
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

// Handler returns the HTTP handler of the platform.
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

// decode decodes a JSON body into request. On failure it responds with status 400 and
// returns false.
func decode(w http.ResponseWriter, r *http.Request, request any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(request); err != nil {
		writeJSON(w, http.StatusBadRequest, table.ErrorResponse{Problem: err.Error()})
		return false
	}
	return true
}

// writeJSON writes a JSON response. Write errors are ignored: the client detects the broken
// connection.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// dropConnection aborts the handler, which closes the connection without a response.
func dropConnection() { panic(http.ErrAbortHandler) }

func (p *Platform) objectPut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, table.ErrorResponse{Problem: err.Error()})
		return
	}
	if err := p.Objects.Put(r.Context(), r.PathValue("name"), data); err != nil {
		writeObjectError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) objectGet(w http.ResponseWriter, r *http.Request) {
	data, err := p.Objects.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		writeObjectError(w, err)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) objectDelete(w http.ResponseWriter, r *http.Request) {
	if err := p.Objects.Delete(r.Context(), r.PathValue("name")); err != nil {
		writeObjectError(w, err)
	}
}

func writeObjectError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	var missing *object.MissingError
	var invalid *object.InvalidError
	switch {
	case errors.As(err, &missing):
		status = http.StatusNotFound
	case errors.As(err, &invalid):
		status = http.StatusBadRequest
	}
	writeJSON(w, status, table.ErrorResponse{Problem: err.Error()})
}

func (p *Platform) weightsDescribe(w http.ResponseWriter, r *http.Request) {
	var a weightstore.Artifact
	if !decode(w, r, &a) {
		return
	}
	info, err := p.Weights.Describe(r.Context(), a)
	writeWeightsResponse(w, info, err)
}

func (p *Platform) weightsLimits(w http.ResponseWriter, r *http.Request) {
	limits, err := p.Weights.Limits(r.Context())
	writeWeightsResponse(w, limits, err)
}

func (p *Platform) weightsFetch(w http.ResponseWriter, r *http.Request) {
	var f weightstore.FetchRequest
	if !decode(w, r, &f) {
		return
	}
	if f.Bytes <= 0 || f.Fetcher == "" {
		writeJSON(w, http.StatusBadRequest, table.ErrorResponse{Problem: "fetcher and bytes must be given"})
		return
	}
	writeWeightsResponse(w, struct{}{}, p.Weights.Fetch(r.Context(), f.Fetcher, f.Artifact, f.Bytes))
}

func writeWeightsResponse(w http.ResponseWriter, body any, err error) {
	var missing *weightstore.MissingError
	var limited *weightstore.RateLimitError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, body)
	case errors.As(err, &missing):
		writeJSON(w, http.StatusNotFound, table.ErrorResponse{Problem: err.Error()})
	case errors.As(err, &limited):
		writeJSON(w, http.StatusTooManyRequests, weightstore.Refusal{RetryAfterMillis: limited.RetryAfter.Milliseconds() + 1})
	default:
		writeJSON(w, http.StatusServiceUnavailable, table.ErrorResponse{Problem: err.Error()})
	}
}
