// Our own settings for one router; the platform's are in RELAY_CONFIG. Keys, bounds and defaults: wickhinge/options/schema.cue.
// Read only by a router that is told of it: `wickhinge run --options deploy/wickhinge.cue`, or WICKHINGE_OPTIONS.

store: {
	// Copies of our own on a disk that lasts. The users' platform has none: off there.
	mode: "off"
	dir:  "/var/lib/wickhinge/store"
}
