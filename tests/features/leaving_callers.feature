Feature: Callers that leave take nothing with them

  # Guards against: a caller that leaves just as its call is given a slot, before anything is sent, kept the
  # slot for good: its router went on to report it as in use.
  Scenario: The slots of callers who leave before their calls are sent are free for others
    Given 3 routers and a plain service
    When 40 callers leave just after their calls were given slots, before these are sent
    Then within 1 s another 8 calls are given slots

  # Guards against: a busy router sent requests to engines up to 1.1 s after their callers had left. A
  # slot was granted before the event loop came to the end of the connection, and nobody looked.
  Scenario: A request that is granted a slot before the end of its caller is noticed is not sent
    Given a caller whose connection has ended while its request waits
    When the request is granted a slot
    Then the request is given up because its caller is gone, and the core is told so

  @nodes.1
  Scenario: Requests whose callers left while their router was late reach no engine
    When router 1 is frozen, and 300 callers send a request and leave in that
    Then none of these requests reaches an engine within 3 s

  # Guards against: a busy router passed connections on whose callers had left while they waited to be
  # accepted, and its neighbours sent their requests to engines.
  Scenario: Nothing is passed on of a request that arrived together with the end of its caller
    Given a caller has sent a request and left before its connection is joined to a neighbour's
    Then the neighbour receives nothing but the end

  @nodes.3.busy
  Scenario: Requests whose callers left are not passed on to neighbours
    Given router 1 knows its neighbours
    When router 1 is frozen, and 300 callers send a request and leave in that
    Then none of these requests reaches an engine within 3 s
