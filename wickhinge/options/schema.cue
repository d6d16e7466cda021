// Every setting of ours: its type, its bounds and its default. Operators' files hold values for these keys.

#Store: {
	mode: *"off" | "on"
	// a directory on a disk that lasts; one router at a time
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
	// where the list is remembered; may be the store's directory's neighbour, never the store's own
	dir:               string | *""
	after_s:           number & >=0 & <=60 | *0.5
	hint_after_s:      number & >=60 | *86400
	untold_s:          number & >=0 & <=3600 | *0
	writes_a_minute:   number & >0 & <=600 | *6
	addresses:         [...string] | *[]
	backoff_s:         number & >=0.01 & <=60 | *0.15
	longest_backoff_s: number & >=0.01 & <=600 | *2
	static:            [...#Machine] | *[]
	// talk between instances: only where the installation allows it, and only with a key
	listen:   string | *""
	siblings: [...string] | *[]
	key_file: string | *""
	routers:  int & >=0 & <=100000 | *0
}

#Fellow: {
	// as in the platform's configuration, RELAY_NAME
	name:    string & !=""
	address: string & !=""
	zone:    string | *""
}

#Peers: {
	// talk between instances over UDP: only where the installation allows it
	mode:     *"off" | "on"
	key_file: string | *""
	// what comes under this one is read too, while the fleet changes its key
	also_key_file: string | *""
	roster:   [...#Fellow] | *[]
}

#Shared: {
	// cold machines' limits dealt among the routers by need; needs peers
	mode: *"off" | "on"
	// names that all rosters in use hold together at most; 0: as many as ours
	names: int & >=0 & <=5000 | *0
	// processes that run at once at most, names and those started twice or not ended yet; 0: names and 2
	processes: int & >=0 & <=10000 | *0
	// what routers saw of machines themselves, told to each other as evidence
	judgements: *"off" | "on"
	// how many forwards each router of a zone has out at its caches
	counts: *"off" | "on"
}

#ChangelogMachine: {
	name:    string & !=""
	address: string & !=""
}

#Changelog: {
	// for routers: purges and settings come from the change log, too
	mode:     *"off" | "on"
	key_file: string | *""
	// what comes under this one is read too, while the fleet changes its key
	also_key_file: string | *""
	// in order of preference: a router follows the first that it hears
	relays: [...#ChangelogMachine] | *[]
	// the same list at each replica and relay; routers need none
	replicas: [...#ChangelogMachine] | *[]
	// where a router hears its relays over UDP; "": any address and port
	bind: string | *""
	// a copy older than a purge may be served for so long after the purge
	grace_s: number & >=0.5 & <=3600 | *6
	// a router that knows less than all up to so long ago limits the age of copies
	bound_s: number & >=0.5 & <=600 | *3.1
	// from a purge's stamp to a majority of the replicas, at most; later ones are stamped anew
	ingest_s: number & >=0.05 & <=60 | *0.5
	// purges of so long are told to a router that starts
	purge_horizon_s: number & >=10 & <=3600 | *120
	// a replica's files are in a directory of its name in this one
	dir: string | *""
}

store:     #Store
journal:   #Journal
discovery: #Discovery
peers:     #Peers
shared:    #Shared
changelog: #Changelog
