Feature: A request goes to an engine that can begin its answer soon

  # Load pattern "slots used up at a home": some shared parts are asked for more often than others,
  # and answers hold their slots long, so that homes run out of slots while others have most free.
  # Guards against: requests waited at their home, or were refused there, beside free engines.

  Scenario: Requests leave a home whose slots are used up
    Given 6 routers and 8 engines, whose answers take 0.5 s
    When 180 requests a second share 12 parts unevenly for 6 s
    Then at least 0.97 of them begin in time
    And at most 0.01 of them are refused
    And the busiest engine runs at most 1.4 times the mean

  # Load pattern "hot home": half of the requests share one part.

  Scenario: Requests leave the home of a hot part
    Given 6 routers and 8 engines, whose answers take 0.5 s
    When 180 requests a second share 12 parts, half of them the first, for 6 s
    Then at least 0.97 of them begin in time
    And at most 0.01 of them are refused

  Scenario: Requests stay at their home while it can begin them soon
    Given 6 routers and 8 engines, whose answers take 0.1 s
    When 80 requests a second share 12 parts unevenly for 6 s
    Then at least 0.99 of them begin in time
    And at least 0.9 of them run at their home
