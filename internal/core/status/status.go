// Package status names the HTTP statuses that the core chooses for responses. The core imports no
// package that does I/O, not even net/http for the names of statuses.
package status

// Statuses, as in RFC 9110.
const (
	OK                  = 200
	BadRequest          = 400
	Unauthorized        = 401
	Forbidden           = 403
	NotFound            = 404
	RequestTimeout      = 408
	Conflict            = 409
	Gone                = 410
	ContentTooLarge     = 413
	MisdirectedRequest  = 421
	UnprocessableEntity = 422
	TooManyRequests     = 429
	HeadTooLarge        = 431
	BadGateway          = 502
	ServiceUnavailable  = 503
	GatewayTimeout      = 504
)
