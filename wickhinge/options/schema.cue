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

store:   #Store
journal: #Journal
