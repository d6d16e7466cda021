// Half of all caches are gone for ten seconds and come back cold and empty, at ten times the size of the others.
name:         "zone_loss"
routers:      20
caches:       80
parents:      8
visits_per_s: 1200
objects:      20000
failures: [{kind: "lost_zone", at_s: 10, for_s: 10, share: 0.5}]
