"""Places plain calls for the fleet where its instances outnumber the slots."""
