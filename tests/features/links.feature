Feature: Connections between routers that go silent without a reset
  # Guards against: after connections between routers went silent without a reset, a quarter of
  # the requests were late or failed until the end of the day. A connection was never reopened:
  # all messages on it were lost, and indirect probes, which still reached the other router, kept
  # it from being suspected.
  Scenario: A silent link is reopened though other routers still reach its router
    Given a fleet of 6 routers that know one another
    When all that one router sends another on the present connection is lost
    Then it reopens the connection within 5 seconds
    And no router is considered dead meanwhile

  Scenario: Messages pass again on the new connection
    Given a router that sends to another through a link that has become silent
    When it reopens the connection
    Then its next message arrives

  # Guards against: after most connections between routers had gone silent at once, routers considered
  # one another dead for twenty seconds, the servers of a plain service changed owners all the time,
  # and next to no request on routes that were added meanwhile was served.
  Scenario: A fleet whose connections fall silent at once knows itself again within a contact window
    Given a fleet of 72 routers in 3 zones that know one another
    When seven in ten of its connections lose all that is sent on them until they are reopened
    Then 4 s later every router considers all others alive, and for 2 s more
