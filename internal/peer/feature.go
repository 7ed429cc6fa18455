package peer

import "github.com/dandelionring/dandelionring/pkg/core"

// FeatureMessages returns the names of features for a message.
func FeatureMessages(features []core.Feature) []string {
	names := make([]string, 0, len(features))
	for _, feature := range features {
		names = append(names, string(feature))
	}
	return names
}

// FeaturesFromMessage returns the features that a message names. Those that this build does not
// know are kept.
func FeaturesFromMessage(names []string) []core.Feature {
	features := make([]core.Feature, 0, len(names))
	for _, name := range names {
		features = append(features, core.Feature(name))
	}
	return features
}
