// A simulated scenario: the fleet, its load and its failures. Times are virtual times in seconds from the start.

#Failure: {
	kind: "crash" | "hang" | "slow" | "drain" | "mass_restart" | "lost_zone" | "origin_slow" | "purge" | "list_lost"
	at_s:    number & >=0
	for_s:   number & >0 | *5
	// target: index of the cache that fails, from 0; share: share of the caches that fail, or of the objects that are
	// purged; factor: by how much a server becomes slower. Each kind uses those that apply to it.
	target:  int & >=0 | *0
	share:   number & >0 & <=1 | *1
	factor:  number & >=1 | *4
}

name:        string & !=""
seed:        int & >=0 | *1
seconds:     number & >0 & <=86400 | *30
warm_s:      number & >=0 | *5
// zones: they share only the parents and the origin; caches and routers are assigned to them in turn
zones:       int & >=1 & <=500 | *1
routers:     int & >=1 & <=1000 | *4
caches:      int & >=1 & <=5000 | *8
parents:     int & >=1 & <=500 | *2
// weight, parent_weight, origin_weight: capacity in transfers at full speed; keep, parent_keep: parts that are stored
weight:        number & >0 | *8
parent_weight: number & >0 | *32
origin_weight: number & >0 | *64
keep:          int & >=1 | *2000
parent_keep:   int & >=1 | *20000
restart_s:     number & >0 | *3
cold_from:     number & >0 & <=1 | *0.2
cold_s:        number & >0 | *10
fall_multiple: number & >=1 | *4
fall_s:        number & >0 | *3
hop_s:         number & >=0 | *0.001
list_s:        number & >=0 | *0.1
visits_per_s:  number & >0 | *100
objects:       int & >=1 | *2000
zipf:          number & >=0 | *0.9
parts:         int & >=1 & <=64 | *8
part_s:        number & >0 | *0.05
exclusive:     number & >=0 & <1 | *0.05
fresh_s:       number & >=0 | *0
promised_s:    number & >0 | *0.5
patience_s:    number & >0 | *2
// again: share of the rejected requests that are sent again after the announced delay
again:         number & >=0 & <=1 | *0.3
burst:         number & >=1 | *1
policy:        *"wickhinge" | "random" | "least_loaded" | "keep_all" | "keep_none"
plant:         *"" | "drains" | "cold" | "purges" | "repeats" | "answers"
failures:      [...#Failure] | *[]
