package platform

import (
	"errors"
	"net/http"

	"github.com/springweir/springweir/table"
)

func (p *Platform) tableGet(w http.ResponseWriter, r *http.Request) {
	var request table.GetRequest
	if !decode(w, r, &request) {
		return
	}
	rows, err := p.Table.Get(r.Context(), request.Keys...)
	tableAnswer(w, table.RowsResponse{Rows: rows}, err)
}

func (p *Platform) tableScan(w http.ResponseWriter, r *http.Request) {
	var request table.ScanRequest
	if !decode(w, r, &request) {
		return
	}
	rows, err := p.Table.Scan(r.Context(), request.Table, request.Prefix, request.After, request.Limit)
	tableAnswer(w, table.RowsResponse{Rows: rows}, err)
}

func (p *Platform) tableCommit(w http.ResponseWriter, r *http.Request) {
	var txn table.Txn
	if !decode(w, r, &txn) {
		return
	}
	versions, err := p.Table.Commit(r.Context(), txn)
	tableAnswer(w, table.CommitResponse{Versions: versions}, err)
}

// tableAnswer answers with body, or with a refusal for errors that are certain.
// All else gets no answer at all, as from a real service in trouble.
func tableAnswer(w http.ResponseWriter, body any, err error) {
	var conflict *table.ConflictError
	var invalid *table.InvalidError
	var unavailable *table.UnavailableError
	switch {
	case err == nil:
		answer(w, http.StatusOK, body)
	case errors.As(err, &conflict):
		answer(w, http.StatusConflict, table.ErrorResponse{Conflict: conflict})
	case errors.As(err, &invalid):
		answer(w, http.StatusBadRequest, table.ErrorResponse{Problem: err.Error()})
	case errors.As(err, &unavailable):
		answer(w, http.StatusServiceUnavailable, table.ErrorResponse{Problem: err.Error()})
	default:
		loseAnswer()
	}
}
