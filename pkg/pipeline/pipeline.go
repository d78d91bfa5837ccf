// Package pipeline is for clients that send requests before the answer to the one before has come.
//
// net/http serves a connection's requests one after the other, and notices a client's leaving by
// reading one byte behind the request that it serves. If that byte belongs to a next request, it
// looks no further. Conn reads on in its place, so that a client's leaving ends its requests
// whatever it has sent behind them.
package pipeline
