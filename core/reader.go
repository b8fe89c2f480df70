package core

// ReadyReader is a PieceReader that knows whether its next piece has already
// arrived. Relays flush when it has not.
type ReadyReader interface {
	PieceReader
	// Ready reports that Next will not block.
	Ready() bool
}

// NamedReader is a PieceReader that knows its stream before the first piece, so
// that a stream can be cancelled while its prompt is computed.
type NamedReader interface {
	PieceReader
	// Stream names the engine's stream; it is empty if the engine did not tell.
	Stream() string
}
