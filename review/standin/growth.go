package main

import (
	"fmt"
	"time"
)

// growth grows the configuration by many routes, again and again, and then sends small
// changes. Every order is valid and must be acknowledged.
func growth(fleet *fleet, trouble bool) error {
	const (
		step     = 350 // routes more at once, as on the sheet of the site
		steps    = 28
		first    = 20
		perRoute = 3 * time.Millisecond
		gap      = 300 * time.Millisecond
	)
	controls, err := fleet.startControls(config(1, first))
	if err != nil {
		return err
	}
	version, missing := 1, 0
	if trouble {
		for grown := range steps {
			version++
			routes := first + (grown+1)*step
			// The operator waits for the bound of this order and then goes on.
			bound := ackTime + time.Duration(routes)*perRoute
			if !fleet.order(fmt.Sprintf("configuration %d with %d routes", version, routes), "/v1/config", config(version, routes), controls, bound) {
				missing++
				break
			}
			time.Sleep(gap)
		}
	}
	const small = 3
	for range small {
		version++
		if !fleet.order(fmt.Sprintf("configuration %d with %d routes", version, first), "/v1/config", config(version, first), controls, ackTime+first*perRoute) {
			missing++
		}
		time.Sleep(gap)
	}
	if missing > 0 {
		return fmt.Errorf("%w: %d valid configurations were not acknowledged in time by a core without any disruption", errBroken, missing)
	}
	return nil
}
