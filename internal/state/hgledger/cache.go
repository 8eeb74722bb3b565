package hgledger

import "hyssopgrade/internal/serve/hgattempt"

// cachedPrompts estimates the tokens of a program's prompts that replicas have cached, by prompt part and replica.
type cachedPrompts map[string]map[string]int

// add records that a replica has processed a prompt and generated some tokens, which extend the prompt's last part.
func (c cachedPrompts) add(replica string, prompt []hgattempt.Part, generated int) {
	for i, part := range prompt {
		tokens := part.Tokens
		if i == len(prompt)-1 {
			tokens += generated
		}
		if c[part.ID] == nil {
			c[part.ID] = map[string]int{}
		}
		c[part.ID][replica] = max(c[part.ID][replica], tokens)
	}
}

// tokens returns how many tokens of a prompt each replica has cached. A part counts only if all parts before it are
// cached.
func (c cachedPrompts) tokens(prompt []hgattempt.Part) map[string]int {
	sum := map[string]int{}
	for i, part := range prompt {
		for replica, tokens := range c[part.ID] {
			if i > 0 && sum[replica] < tokensBefore(prompt, i) {
				continue
			}
			sum[replica] += min(tokens, part.Tokens)
		}
	}
	return sum
}

// tokensBefore returns the number of tokens in the parts before the part with index i.
func tokensBefore(prompt []hgattempt.Part, i int) (n int) {
	for _, part := range prompt[:i] {
		n += part.Tokens
	}
	return n
}
