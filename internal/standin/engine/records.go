package engine

import (
	"encoding/json"
	"net/http"
)

// getRecords responds with Records, for tests that run engines as processes.
func (e *Engine) getRecords(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Records()) // an error means that the caller has disconnected
}
