"""The front on sockets: it carries and times; every choice is made in wickhinge.decide."""
