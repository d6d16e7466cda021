// No failures: the router's behaviour under a constant load.
name: "calm"
