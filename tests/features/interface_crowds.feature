Feature: A crowd at the product's own interface ends no router, and others are served beside it
  Real processes. What callers may make the router hold is limited to 8 MiB; bodies may have 1 MiB. 60
  clients come to the router, and come again when they are refused.

  # Guards against: the built-in interface read bodies without a count of all of them together.
  Scenario Outline: Clients of the built-in interface
    Given a fleet whose router has little memory for clients
    When a crowd sends <way> to its <listener> listener
    Then an ordinary request to it is answered beside the crowd
    And its process has held no more than 60 MB above its rest
    And an ordinary request to it is answered after the crowd

    Examples:
      | way                              | listener  |
      | whole bodies                     | callers   |
      | bodies in pieces that stop short | callers   |
      | large chunks that stop short     | callers   |
      | chunks of one byte               | callers   |
      | chunks beyond the limit          | callers   |
      | heads that stop short            | callers   |
      | requests, and takes no answers   | callers   |
      | whole bodies                     | operators |
      | a body far over the limit        | operators |
