package route

// Part is a piece of a prompt that several prompts may share.
type Part struct {
	// Key identifies the part's content.
	Key uint64
	// Tokens is its length.
	Tokens int
}

// Prompt is what a request tells of the work it asks for.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutput the most tokens of the answer.
	Tokens    int
	MaxOutput int
	// Parts are the prompt's parts in order. The last one belongs to the
	// request or to its session.
	Parts []Part
}

// TotalTokens is the memory, in tokens, that the prompt and the longest answer take.
func (p *Prompt) TotalTokens() int { return p.Tokens + p.MaxOutput }
