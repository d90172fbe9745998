Feature: What a border accepts passes all that it meets later
  Values are drawn at and beyond every bound: numbers that no message, clock or socket holds, names that
  no header, log line or metric carries. What is accepted goes through two routers in simulated time, whose
  messages pass through the codec.

  # Guards against: a value that one place accepts and a later one cannot carry, which ended processes, took
  # sound values along with it, or left callers without an answer.
  Scenario: Entries of servers, their keys, and evacuated zones
    Then of any items of the store, what is accepted is carried, and the sound ones are used

  Scenario: Configurations
    Then any configuration that is accepted is carried, and its requests are decided

  Scenario: Settings files
    Then any settings file is rejected with findings, or a router can start with it

  Scenario: Messages of other routers
    Then any message of a peer is carried, or dropped by itself

  Scenario: Heads of clients
    Then any head of a client is refused, or its request is carried to an engine

  Scenario: Heads and events of servers
    Then any head of a server leaves a time-out, a back-off and an event id that can be carried

  # Guards against: names that are no tokens, folded values and control characters were passed on.
  Scenario: Fields of servers' heads
    Then any fields of a server's head are read as a client can read them, or are no head

  Scenario: Answers of the store
    Then any answer of the store is read, or fails by itself

  # Guards against: the end of an event that came in two pieces was not seen, so that a stream whose server
  # writes so was taken for one event without end.
  Scenario: The length of an incomplete event
    Then of any stream in any pieces, the bytes since its last event are counted

  Scenario: Option files
    Then any option file is rejected with findings, or a core can run with it
