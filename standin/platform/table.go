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
	writeTableResponse(w, table.RowsResponse{Rows: rows}, err)
}

func (p *Platform) tableScan(w http.ResponseWriter, r *http.Request) {
	var request table.ScanRequest
	if !decode(w, r, &request) {
		return
	}
	rows, err := p.Table.Scan(r.Context(), request.Table, request.Prefix, request.After, request.Limit)
	writeTableResponse(w, table.RowsResponse{Rows: rows}, err)
}

func (p *Platform) tableCommit(w http.ResponseWriter, r *http.Request) {
	var txn table.Txn
	if !decode(w, r, &txn) {
		return
	}
	versions, err := p.Table.Commit(r.Context(), txn)
	writeTableResponse(w, table.CommitResponse{Versions: versions}, err)
}

// writeTableResponse responds with body, or with an error for failures whose outcome is
// certain. For any other error it closes the connection without a response, as a failing
// real service does.
func writeTableResponse(w http.ResponseWriter, body any, err error) {
	var conflict *table.ConflictError
	var invalid *table.InvalidError
	var unavailable *table.UnavailableError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, body)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, table.ErrorResponse{Conflict: conflict})
	case errors.As(err, &invalid):
		writeJSON(w, http.StatusBadRequest, table.ErrorResponse{Problem: err.Error()})
	case errors.As(err, &unavailable):
		writeJSON(w, http.StatusServiceUnavailable, table.ErrorResponse{Problem: err.Error()})
	default:
		dropConnection()
	}
}
