package route

// Part is a segment of a prompt that several prompts may share.
type Part struct {
	// Key identifies the content of the part.
	Key uint64
	// Tokens is the length of the part.
	Tokens int
}

// Prompt describes the size and the shared segments of a request's prompt.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutput the maximum length of the answer.
	Tokens    int
	MaxOutput int
	// Parts are the parts of the prompt in order. The last one is specific to the request or its
	// session.
	Parts []Part
}

// SharedParts returns the parts that other prompts may hold too: all but the last.
func (p *Prompt) SharedParts() []Part {
	return p.Parts[:max(0, len(p.Parts)-1)]
}

// TotalTokens is the memory that the prompt and the longest answer require, in tokens.
func (p *Prompt) TotalTokens() int { return p.Tokens + p.MaxOutput }
