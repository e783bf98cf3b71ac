"""What the scripted cases of the review share."""
