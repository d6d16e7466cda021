"""The bench's front: many instances of the decision module on one JSON wire."""
