"""Small modules that several packages use; they use no other package of wickhinge."""
