package main

import (
	"fmt"
	"time"
)

// growth grows the configuration by many routes, again and again. Then all processes of the
// core are killed at the same moment and are back within a second, one later than the others,
// some times, while the operator goes on to send the order that has no answer. What was
// acknowledged must be read back.
func growth(fleet *fleet, trouble bool) error {
	const (
		step     = 350 // routes more at once, as on the sheet of the site
		steps    = 28
		first    = 20
		gap      = 300 * time.Millisecond
		kills    = 8
		early    = 100 * time.Millisecond // until two processes are started again
		last     = 800 * time.Millisecond // from then until the third one is
		patience = 8 * time.Second        // of the operator, before the first kill
		longest  = 100 * time.Second      // until the last kill
	)
	controls, err := fleet.startControls(config(1, first))
	if err != nil {
		return err
	}
	acknowledged, version, routes := 1, 1, first
	unanswered := false
	for grown := 0; trouble && grown < steps && !unanswered; grown++ {
		version++
		routes += step
		if fleet.order(fmt.Sprintf("configuration %d with %d routes", version, routes), "/v1/config", config(version, routes), controls, patience) {
			acknowledged = version
		} else {
			unanswered = true
		}
		time.Sleep(gap)
	}
	for kill := 1; trouble && kill <= kills && time.Since(fleet.start) < longest-recovery-2*contactTime; kill++ {
		fleet.note("all processes of the core are killed, time %d", kill)
		for _, control := range controls {
			fleet.kill(control)
		}
		time.Sleep(early)
		latest := kill % len(controls)
		for i := range controls {
			control := controls[(latest+1+i)%len(controls)]
			if i == len(controls)-1 {
				time.Sleep(last)
			}
			control.bootstrap = false
			if err := fleet.launch(control); err != nil {
				return err
			}
		}
		if newest := fleet.readWithin(controls, recovery, acknowledged); newest < acknowledged {
			if newest = fleet.readBack(controls, 2*contactTime); newest < acknowledged {
				return fmt.Errorf("%w: configuration %d was acknowledged and is not read back from %d running core machines, %v after they are back", errBroken, acknowledged, len(controls), recovery+2*contactTime)
			}
		}
		if unanswered { // a call without a clear answer is sent again unchanged
			fleet.order(fmt.Sprintf("configuration %d with %d routes, again", version, routes), "/v1/config", config(version, routes), controls, ackTime)
		}
	}
	if newest := fleet.readBack(controls, contactTime); newest < acknowledged {
		return fmt.Errorf("%w: configuration %d was acknowledged and is not read back", errBroken, acknowledged)
	}
	return nil
}
