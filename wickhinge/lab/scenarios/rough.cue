// A drain, a crash, a hang, a purge, a slow origin and a mass restart, one after another during a burst of load.
name:    "rough"
seconds: 40
burst:   1.5

visits_per_s: 500

failures: [
	{kind: "drain", at_s: 8, target: 0},
	{kind: "crash", at_s: 12, target: 1},
	{kind: "hang", at_s: 16, target: 2, for_s: 4},
	{kind: "purge", at_s: 20, share: 0.1},
	{kind: "origin_slow", at_s: 24, for_s: 4, factor: 4},
	{kind: "mass_restart", at_s: 30, share: 0.5},
]
