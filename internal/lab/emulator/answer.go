package emulator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the token limit of a request that sets none.
const DefaultMaxTokens = 64

// minAnswerPercent is the minimum length of an answer, in percent of the token limit.
const minAnswerPercent = 50

var vocabulary = strings.Fields(`crew site hours Monday Tuesday Wednesday Thursday Friday
	concrete scaffold crane shift paper glass plastic bin street calendar holiday week
	north south east west gate close open early late confirmed entered moved collected`)

// Answer is the text that an emulated engine generates. It depends only on the prompt, seed, model,
// version and token limit, so a client can verify that an answer is complete and belongs to its
// request.
type Answer struct {
	key    uint64
	length int
}

// NewAnswer returns the answer to a prompt.
func NewAnswer(model, version, prompt string, seed int64, maxTokens int) Answer {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	digest := xxhash.New()
	for _, part := range []string{model, version, strconv.FormatInt(seed, 10), prompt} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	key := digest.Sum64()
	minLength := max(1, maxTokens*minAnswerPercent/100)
	length := minLength + int((key>>8)%uint64(maxTokens-minLength+1))
	return Answer{key: key, length: length}
}

// Length returns the number of tokens.
func (a Answer) Length() int { return a.length }

// Token returns token i, including its trailing space.
func (a Answer) Token(i int) string {
	hash := a.key ^ (uint64(i)+1)*0x9E3779B97F4A7C15
	hash ^= hash >> 29
	hash *= 0xBF58476D1CE4E5B9
	hash ^= hash >> 32
	word := vocabulary[hash%uint64(len(vocabulary))]
	return word + strconv.FormatUint((hash>>40)%1000, 10) + " "
}

// Text returns the complete answer.
func (a Answer) Text() string {
	var builder strings.Builder
	for i := range a.length {
		builder.WriteString(a.Token(i))
	}
	return builder.String()
}
