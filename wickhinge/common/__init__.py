"""Small parts that several packages need and that need no package of ours themselves."""
