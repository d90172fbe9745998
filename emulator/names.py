"""Names of the emulated site's services."""

MODEL_SERVICE = "model"
PLAIN_SERVICE = "desk"
