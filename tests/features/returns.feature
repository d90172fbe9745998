Feature: A share that lay idle is lent, and is back at once

  # Load pattern "returning workspace": the largest of four workspaces, all of which ask for at least
  # twice their share, is silent for 4 s and then asks for as much as before.
  # Guards against: a returning workspace waits until the windows of the others have moved on.

  Scenario Outline: A workspace that returns has its share within half a second
    Given 12 routers, and four workspaces that flood 8 engines
    And the largest, in prompts of <tokens> tokens, is silent from 5 to 9 s
    And <routers> of the routers, with the accountant, end at 8 s
    When all four have asked until 13 s
    Then the others begin at least 0.9 of what they do where the largest one never asks
    And from 0.5 s after its return on it has always begun what its share is from then on

    Examples: short and long prompts, and a lost accountant
      | tokens | routers |
      | 1000   | 0       |
      | 6000   | 0       |
      | 1000   | 1       |
