Feature: Cold engines get no more requests than they can take, whichever router owns them and however they are detected

  # Load pattern "cold return": engines that come back under a flood are overloaded while cold,
  # and fail again. Guards against: a cold engine of the heating site got 20 or more requests in a
  # second.

  Scenario Outline: An engine comes back cold under a flood
    Given 6 routers and 6 engines in 3 zones whose cold starts last 3 s, 10 requests a second
    And callers that ask for more than the engines can do
    When <what> at 2 s
    Then in the 3 s after it is back it gets at most 20 requests in any second
    And it gets at least 4 in each of them
    And it gets more than 20 in one of the seconds after that

    Examples:
      | what                                         |
      | an engine is listed for the first time       |
      | an engine says that it is cold for 3 s       |
      | an engine's zone is taken back               |
      | an engine refuses connections for 3 s        |
      | an engine stands still for 3 s               |

  Scenario Outline: Ownership moves while an engine is cold
    Given 6 routers and 6 engines in 3 zones whose cold starts last 3 s, 10 requests a second
    And callers that ask for more than the engines can do
    When an engine is listed for the first time at 2 s
    And its owner <fate> at <at_s> s
    Then in the 3 s after it is back it gets at most 20 requests in any second

    Examples:
      | fate                              | at_s |
      | ends                              | 2.5  |
      | ends                              | 3.3  |
      | is cut off from the other routers | 2.3  |
      | is cut off from the other routers | 3.0  |

  Scenario: Two owners of a cold engine that know nothing of each other stay within its bound
    Given what two owners grant at one engine of 10 requests a second, 1.5 times and 5 more allowed
    When each begins at any of 40 moments of a second, grants are late by up to 0.2 s, and one may end
    Then no second has more than 20 of them

  Scenario: Engines that are never cold are granted as ever
    Given 6 routers and 6 engines in 3 zones that are never cold
    And callers that ask for more than the engines can do
    When an engine is listed for the first time at 2 s
    Then it gets more than 20 in one of the seconds after that
