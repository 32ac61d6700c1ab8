package endpoint

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

// The form in which engines send nearly every piece: {"offset":12,"text":" word"}.
var (
	piecePrefix = []byte(`{"offset":`)
	pieceMiddle = []byte(`,"text":"`)
	pieceSuffix = []byte(`"}`)
)

// maxOffsetDigits keeps the offset within the range of an int.
const maxOffsetDigits = 18

// decodePiece decodes an event's data. It runs for each token, so the usual form
// without escapes is parsed without encoding/json; anything else is left to
// encoding/json.
func decodePiece(data []byte) (engineapi.Piece, error) {
	if piece, ok := plainPiece(data); ok {
		return piece, nil
	}
	var piece engineapi.Piece
	err := json.Unmarshal(data, &piece)
	return piece, err
}

// plainPiece decodes the usual form and reports whether data has it.
func plainPiece(data []byte) (engineapi.Piece, bool) {
	var piece engineapi.Piece
	rest, ok := bytes.CutPrefix(data, piecePrefix)
	if !ok {
		return piece, false
	}
	digits, text, ok := bytes.Cut(rest, pieceMiddle)
	if !ok || !plainDigits(digits) {
		return piece, false
	}
	text, ok = bytes.CutSuffix(text, pieceSuffix)
	if !ok || !plainText(text) {
		return piece, false
	}
	piece.Offset, _ = strconv.Atoi(string(digits))
	piece.Text = string(text)
	return piece, true
}

// plainDigits accepts a JSON number without sign and leading zero.
func plainDigits(digits []byte) bool {
	if len(digits) == 0 || len(digits) > maxOffsetDigits {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return digits[0] != '0' || len(digits) == 1
}

// plainText accepts text without escapes, as it may stand in a JSON string.
func plainText(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}
