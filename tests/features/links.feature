Feature: Connections between routers that go silent without a reset
  # Seen: from the moment at which connections between routers went silent, without a reset, a
  # quarter of what callers asked was late or failed, to the end of the day.
  # Cause: a connection between routers was opened once; what was sent on a silent one was lost,
  # and helpers that still reached the other router hid it.
  Scenario: A link that went silent is opened anew, though others vouch for the router
    Given a fleet of 6 routers that know one another
    When what one router sends another is lost for good on its present connection
    Then it opens the connection anew within 5 seconds
    And neither takes the other for dead meanwhile

  Scenario: Messages pass again on the new connection
    Given a router that sends to another through a link that has gone silent
    When it opens the connection anew
    Then its next message arrives
