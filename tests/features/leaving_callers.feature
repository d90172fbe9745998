Feature: Callers that leave take nothing with them

  # Guards against: a caller that leaves just as its call is given a slot, before anything is sent, kept the
  # slot for good: its router went on to report it as in use.
  Scenario: The slots of callers who leave before their calls are sent are free for others
    Given 3 routers and a plain service
    When 40 callers leave just after their calls were given slots, before these are sent
    Then within 1 s another 8 calls are given slots
