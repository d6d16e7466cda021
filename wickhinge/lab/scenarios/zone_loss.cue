// All caches of one of four zones are down for ten seconds and restart cold and empty.
name:         "zone_loss"
zones:        4
routers:      20
caches:       40
parents:      8
visits_per_s: 600
objects:      20000
failures: [{kind: "lost_zone", at_s: 10, for_s: 10, share: 1}]
