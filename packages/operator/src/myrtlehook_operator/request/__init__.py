"""What logs show of requests: their events, losses and shares."""
