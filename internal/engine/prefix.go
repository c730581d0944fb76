package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockWords is the number of words in a block of the prefix cache.
const PrefixBlockWords = 16

// PrefixBlocks returns the chained hashes of the complete blocks of a prompt, as engines publish
// them in their cache events. Two prompts share a block hash exactly if they share all words up to
// the end of that block.
func PrefixBlocks(prompt string) []uint64 {
	words := strings.Fields(prompt)
	blocks := make([]uint64, 0, len(words)/PrefixBlockWords)
	var previous [8]byte
	digest := xxhash.New()
	for start := 0; start+PrefixBlockWords <= len(words); start += PrefixBlockWords {
		digest.Reset()
		_, _ = digest.Write(previous[:])
		for _, word := range words[start : start+PrefixBlockWords] {
			_, _ = digest.WriteString(word)
			_, _ = digest.Write([]byte{0})
		}
		hash := digest.Sum64()
		blocks = append(blocks, hash)
		binary.LittleEndian.PutUint64(previous[:], hash)
	}
	return blocks
}
