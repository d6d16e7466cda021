// Every setting of Wickhinge's own: its type, bounds and default. Operators' files give values for these keys.

#Store: {
	mode: *"off" | "on"
	// A directory on a persistent disk, used by one router at a time.
	dir:           string | *""
	size_mb:       int & >=8 & <=16777216 | *4096
	segment_mb:    int & >=1 & <=1024 | *64
	memory_mb:     int & >=0 & <=1048576 | *32
	objects:       int & >=1024 & <=268435456 | *262144
	waiting_mb:    number & >=0.25 & <=1024 | *8
	write_mb_s:    number & >0 & <=10000 | *50
	read_within_s: number & >=0.001 & <=5 | *0.1
	reads_at_once: int & >=1 & <=256 | *16
	snapshot_s:    number & >=0.1 & <=86400 | *30
}

#Journal: {
	continues: bool | *false
	quiet_s:   number & >=1 & <=6 | *3
}

#Machine: {
	id:     string & !=""
	dial:   string & !=""
	zone:   string & !=""
	kind:   string & !=""
	cell:   int & >=0 & <=65535 | *0
	weight: number & >0 | *1
}

#Discovery: {
	mode: *"off" | "on"
	// The directory in which the endpoint list is stored; must differ from store.dir.
	dir:               string | *""
	after_s:           number & >=0 & <=60 | *0.5
	hint_after_s:      number & >=60 | *86400
	untold_s:          number & >=0 & <=3600 | *0
	writes_a_minute:   number & >0 & <=600 | *6
	addresses:         [...string] | *[]
	backoff_s:         number & >=0.01 & <=60 | *0.15
	longest_backoff_s: number & >=0.01 & <=600 | *2
	static:            [...#Machine] | *[]
	// Messages between instances: only if the installation allows them, and only with a key.
	listen:   string | *""
	siblings: [...string] | *[]
	key_file: string | *""
	routers:  int & >=0 & <=100000 | *0
}

#Fellow: {
	// The router's name in the platform's configuration or in its RELAY_NAME.
	name:    string & !=""
	address: string & !=""
	zone:    string | *""
}

#Peers: {
	// Messages between instances over UDP: only if the installation allows them.
	mode:     *"off" | "on"
	key_file: string | *""
	// Received messages sealed with this key are accepted, too, while the fleet changes its key.
	also_key_file: string | *""
	roster:   [...#Fellow] | *[]
}

#Shared: {
	// Divides the request limits of cold servers among the routers by need; requires peers.mode on.
	mode: *"off" | "on"
	// Maximum number of distinct names in all rosters in use; 0 takes the length of peers.roster.
	names: int & >=0 & <=5000 | *0
	// Maximum number of concurrent router processes, also counting duplicates and old processes that have not ended;
	// 0 takes the number of names plus 2.
	processes: int & >=0 & <=10000 | *0
	// Routers send each other their own observations of servers' health as evidence.
	judgements: *"off" | "on"
	// Routers of a zone send each other their numbers of open attempts at the zone's caches.
	counts: *"off" | "on"
}

#ChangelogMachine: {
	name:    string & !=""
	address: string & !=""
}

#Changelog: {
	// For routers: purges and settings also come from the change log.
	mode:     *"off" | "on"
	key_file: string | *""
	// Received messages sealed with this key are accepted, too, while the fleet changes its key.
	also_key_file: string | *""
	// Relays in order of preference: a router follows the first one that it receives messages from.
	relays: [...#ChangelogMachine] | *[]
	// The replicas, the same list at each replica and relay; routers need none.
	replicas: [...#ChangelogMachine] | *[]
	// The address on which a router receives its relays' UDP messages; "" takes any address and port.
	bind: string | *""
	// Seconds for which a copy older than a purge may still be served after the purge.
	grace_s: number & >=0.5 & <=3600 | *6
	// A router whose knowledge of the log is older than this many seconds limits the age of copies that it serves.
	bound_s: number & >=0.5 & <=600 | *3.1
	// Maximum seconds from a purge's time stamp until a majority of replicas has it; a later purge gets a new stamp.
	ingest_s: number & >=0.05 & <=60 | *0.5
	// A router that starts receives the purges of this many last seconds.
	purge_horizon_s: number & >=10 & <=3600 | *120
	// The directory that holds one directory per replica, under the replica's name, for its files.
	dir: string | *""
}

store:     #Store
journal:   #Journal
discovery: #Discovery
peers:     #Peers
shared:    #Shared
changelog: #Changelog
