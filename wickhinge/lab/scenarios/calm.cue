// Nothing fails: what the mechanism does by itself.
name: "calm"
