package selection

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// defaultReadingRate applies until a rate was observed, in tokens a second. An accelerator
	// reads some ten thousand tokens a second with the base models in use.
	defaultReadingRate = 30_000
	// observedPrompt is the smallest prompt from which a rate is observed. With a smaller one,
	// the time to the first event depends more on the steps of the batch.
	observedPrompt core.Tokens = 2048
	// readingWeight is the weight of one observation in the average.
	readingWeight = 0.2
	// minReadingRate and maxReadingRate bound the observations, in tokens a second. An engine
	// that has kept a prompt from an earlier request seems to read it at once.
	minReadingRate = 1_000
	maxReadingRate = 200_000
)

// ReadingRate is the average rate at which the engines of a service read prompts. The zero value
// is a usual rate.
type ReadingRate struct {
	tokensPerSecond float64
}

// Observe adds the time from the send of a request to its first event, at an engine that had no
// other prompt to read.
func (rate *ReadingRate) Observe(prompt core.Tokens, took time.Duration) {
	if prompt < observedPrompt || took <= 0 {
		return
	}
	observed := min(max(float64(prompt)/took.Seconds(), minReadingRate), maxReadingRate)
	rate.tokensPerSecond = rate.value()*(1-readingWeight) + observed*readingWeight
}

// Time returns the time in which an engine reads a number of tokens.
func (rate *ReadingRate) Time(tokens core.Tokens) time.Duration {
	return time.Duration(float64(tokens) / rate.value() * float64(time.Second))
}

func (rate *ReadingRate) value() float64 {
	if rate.tokensPerSecond == 0 {
		return defaultReadingRate
	}
	return rate.tokensPerSecond
}
