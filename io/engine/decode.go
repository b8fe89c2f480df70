package engine

import "github.com/goccy/go-json"

// decodePiece decodes the data of one event into an empty piece.
func decodePiece(data []byte, piece *wirePiece) error {
	return json.Unmarshal(data, piece)
}
